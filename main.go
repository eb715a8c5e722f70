// Command tarragonwell is a load balancer for servers whose load changes within
// milliseconds.
package main

import (
	"os"

	"github.com/tarragonwell/tarragonwell/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
