// Command review-standin3 runs the cases of the third review: it starts the programs of
// the product, and stands in for the platform's store, servers and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxCaseTime ends a case that hangs, before the 120 s that it may take.
const maxCaseTime = 110 * time.Second

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin3 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// result is what a case has returned.
type result struct {
	broken bool
	err    error
}

func run(name, folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = rec.file.Close() }()
	d, err := newDeployment(rec)
	if err != nil {
		rec.log("could not run: %v", err)
		return exitFailed
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, with disruption: %t", name, trouble)
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](d, trouble)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case s := <-stop:
		r.err = fmt.Errorf("signal %v", s)
	case <-time.After(maxCaseTime):
		r.err = fmt.Errorf("not ended after %v", maxCaseTime)
	}
	switch {
	case r.err != nil:
		rec.log("could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, r.err)
		return exitFailed
	case r.broken:
		rec.log("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.log("RESULT: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
