// Command buckthornd is the daemon that runs next to each backend server.
package main

import (
	"os"

	"github.com/buckthornpitch/buckthornpitch/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
