// Command clementinelock is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"

	"clementinelock/io/shell"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := shell.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
