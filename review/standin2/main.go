// Command review-standin2 plays the cases of the second review. It starts gateways with
// the commands of the deploy file, and stands in for the platform, the runners and the
// clients as the users' pages describe them. Each runner is a process of its own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. A case returns the violations that clients and runners
// have seen.
var cases = map[string]func(w *world, trouble bool) ([]string, error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	os.Exit(playCase())
}

// playCase plays the case named by the first argument and writes the record to the file
// named by the second one.
func playCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin2 CASE RECORD, run in the root of the repository")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	defer w.close()
	go endOnSignal(w)
	w.record.line("case %s, disruption %t", os.Args[1], trouble)
	violations, err := cases[os.Args[1]](w, trouble)
	if err != nil {
		w.record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	if len(violations) == 0 {
		w.record.line("verdict: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	w.record.line("verdict: the rule was broken %d times", len(violations))
	fmt.Printf("the rule was broken %d times:\n  %s\n", len(violations), strings.Join(violations[:min(5, len(violations))], "\n  "))
	return exitBroken
}

// endOnSignal ends all processes of the case when it is interrupted.
func endOnSignal(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	w.close()
	os.Exit(exitNotRun)
}
