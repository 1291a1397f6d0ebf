// Command standin plays one case of the review: it starts the store of the platform,
// runners and callers as stand-ins and the processes of skylarkstep as they are, brings
// about the disruption and checks the rule.
//
//	standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 it leaves out the disruption. With KEEP=1 it keeps the logs.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Results of a case, which are the exit codes.
const (
	held = iota
	broken
	notRun
)

// maxTime ends a case that takes too long.
const maxTime = 115 * time.Second

var cases = map[string]func(d *deployment, trouble bool) (int, error){
	"stale":   playStaleReports,
	"reused":  playReusedVersion,
	"refused": playRefused,
	"partial": playPartialEntries,
	"ghost":   playUnknownService,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin stale|reused|refused|partial|ghost RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play func(*deployment, bool) (int, error), path string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer rec.close()
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer d.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := play(d, trouble)
		done <- result{code, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			fmt.Println(r.err)
			return notRun
		}
		return r.code
	case <-stop:
		fmt.Println("stopped")
	case <-time.After(maxTime):
		fmt.Println("the case took too long")
	}
	return notRun
}
