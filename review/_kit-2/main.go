// Program kit-2 holds the stand-ins and the cases of review/6 to review/10.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name; each returns whether the rule held.
var cases = map[string]func(r *record, trouble bool) bool{
	"copies": copiesCase,
	"left":   leftCase,
	"odd":    oddCase,
	"reset":  resetCase,
}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: kit-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "reset-server" {
		runResetServer(os.Args[2:])
		return
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) (code int) {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", r)
			code = exitNotRun
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r := newRecord(folder)
	r.printf("case %s, trouble %t", name, trouble)
	if run(r, trouble) {
		r.printf("the rule held")
		return exitHeld
	}
	r.printf("the rule was broken")
	return exitBroken
}
