package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// longest is how long a case may take before its processes are ended.
const longest = 110 * time.Second

// cases holds the function of each case by its name; it returns an exit code.
var cases = map[string]func(f *fleet) int{}

// record writes lines with the time since the start to a file.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE RECORD")
		os.Exit(exitUnable)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnable)
	}
	f := &fleet{record: &record{file: file, began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(longest):
		}
		f.record.logf("the case is cut short")
		f.stop()
		os.Exit(exitUnable)
	}()
	code := exitUnable
	func() {
		defer func() {
			if fault := recover(); fault != nil {
				f.record.logf("the case could not run: %v", fault)
				code = exitUnable
			}
		}()
		code = cases[os.Args[1]](f)
	}()
	f.stop()
	f.record.logf("exit code %d", code)
	_ = file.Close()
	os.Exit(code)
}

// must ends the case if it can't run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
