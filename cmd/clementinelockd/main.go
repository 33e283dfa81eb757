// Command clementinelockd runs one host of clementinelock.
package main

import (
	"os"

	"clementinelock/io/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
