// Command stand runs the scripted cases of the review: a small deployment of the project's own programs with stand-ins of
// clients, endpoints and the platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitSetup  = 2
)

var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"upload":   upload,
	"attempts": manyAttempts,
	"order":    lateOrder,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE, in the folder of the case")
		os.Exit(exitSetup)
	}
	file, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSetup)
	}
	rec := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, with the disruption: %t", os.Args[1], trouble)
	// A case that hangs is ended before its 120 s are over; its processes end with it.
	time.AfterFunc(110*time.Second, func() {
		rec.line("result: the case did not end in time")
		os.Exit(exitSetup)
	})
	broken, err := cases[os.Args[1]](rec, trouble)
	code := exitHeld
	switch {
	case errors.Is(err, errSetup):
		code = exitSetup
		rec.line("result: the case could not run: %v", err)
	case err != nil:
		code = exitSetup
		rec.line("result: error: %v", err)
	case broken:
		code = exitBroken
		rec.line("result: the rule was broken")
	default:
		rec.line("result: the rule held")
	}
	fmt.Printf("exit %d\n", code)
	os.Exit(code)
}
