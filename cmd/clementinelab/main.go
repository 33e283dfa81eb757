// Command clementinelab is the load and experiment tool.
package main

import (
	"os"

	"clementinelock/io/trial"
)

func main() {
	os.Exit(trial.Main(os.Args[1:], os.Stdout, os.Stderr))
}
