// Command casekit runs the cases of the review: it starts the project's programs with stand-ins for the platform
// around them, causes one disruption and checks one rule. It exits with 1 if the rule was broken, with 0 if it held
// and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"replaced-wiped": replacedThenWiped,
	"many-changes":   manyChanges,
	"odd-heartbeat":  oddHeartbeat,
	"late-heartbeat": lateHeartbeat,
	"slow-reader":    slowReader,
}

func main() { os.Exit(runCase()) }

// runCase runs the case that the arguments name: its name and the path of its record.
func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casekit CASE RECORD")
		return failed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, with the disruption: %t", os.Args[1], trouble)
	isBroken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		return failed
	case isBroken:
		rec.logf("verdict: the rule is broken")
		return broken
	}
	rec.logf("verdict: the rule held")
	return held
}
