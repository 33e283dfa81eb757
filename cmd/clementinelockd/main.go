// Command clementinelockd runs one host of clementinelock.
package main

import (
	"os"

	"clementinelock/io/daemon"
	"clementinelock/io/fleet"
	"clementinelock/platform"
)

func main() {
	commands := fleet.Commands("clementinelockd", platform.Adapter{}, os.Stdout, os.Stderr)
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr, commands...))
}
