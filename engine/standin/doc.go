// Package standin provides small stand-ins for model engines, plain services and
// rank groups, for tests. They wait only by means of package time, so they also run
// in virtual time (testing/synctest).
package standin
