// Command _lab plays the cases of the second review: it starts the project's programs as separate processes, with stand-ins of
// clients, endpoints and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// outcome is the exit status of a case.
type outcome int

const (
	held   outcome = 0
	broken outcome = 1
	unable outcome = 2
)

// cases lists the cases by name.
var cases = map[string]func(f *fleet, trouble bool) (outcome, error){
	"silent-endpoint": silentEndpoint,
	"frozen-entry":    frozenEntry,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _lab CASE RECORD")
		os.Exit(int(unable))
	}
	os.Exit(int(run(os.Args[1], os.Args[2])))
}

func run(name, path string) outcome {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, trouble %t", name, trouble)
	f, err := newFleet(r)
	if err != nil {
		r.logf("the case could not run: %v", err)
		return unable
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		f.close()
		os.Exit(int(unable))
	}()
	result, err := cases[name](f, trouble)
	if err != nil {
		r.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return unable
	}
	r.logf("exit %d", result)
	fmt.Println(name, "trouble", trouble, "exit", result)
	return result
}
