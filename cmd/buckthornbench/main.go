// Command buckthornbench measures the daemon on the loopback addresses of this machine.
package main

import (
	"os"

	"github.com/buckthornpitch/buckthornpitch/internal/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
