// Package daemon joins the libraries into the roles of skylarkd.
package daemon
