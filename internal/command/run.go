// Package command is the command line.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
)

// Exit statuses.
const (
	ExitOK = 0
	// ExitFailed means that the command did not do what it was asked to, or that
	// a checked file is refused.
	ExitFailed = 1
	// ExitUsage means that the command line or a file can't be read.
	ExitUsage = 2
)

// errUsage marks errors that end with ExitUsage.
var errUsage = eris.New("usage")

// commands is the command line's grammar.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run one instance until it is told to stop (SIGTERM or SIGINT), then leave gracefully."`
	Check   checkCommand   `cmd:"" help:"Check rules and settings files. Prints each fault as file:line: field: message."`
	Explain explainCommand `cmd:"" help:"Tell which rules are in force for a request, their lines and who asked for them."`
	Status  statusCommand  `cmd:"" help:"Show an instance's targets, peers, rules and load."`
	Audit   auditCommand   `cmd:"" help:"Show an instance's trail of changes."`
	Trace   traceCommand   `cmd:"" help:"Walk from a call's id to what decided its end, over files of log lines."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// Output is where commands write.
type Output struct {
	Stdout io.Writer
	Stderr io.Writer
}

const description = `A load balancer for servers whose load shifts in milliseconds.

Operators drive it by editing one rules file, which the platform publishes; nothing on this command line changes what the fleet does.

Exit statuses: 0 done; 1 failed, or a checked file is refused; 2 the command line or a file can't be read.`

// Run runs one command and returns its exit status.
func Run(args []string, out, errOut io.Writer) int {
	var c commands
	exit := -1
	parser, err := kong.New(&c,
		kong.Name("tarragonwell"),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exit = code }),
		kong.Bind(&Output{
			Stdout: out,
			Stderr: errOut,
		}),
	)
	if err != nil {
		fmt.Fprintln(errOut, "tarragonwell:", err)
		return ExitFailed
	}
	k, err := parser.Parse(args)
	if exit >= 0 {
		// Help was printed.
		return exit
	}
	if err != nil {
		fmt.Fprintln(errOut, "tarragonwell:", err)
		fmt.Fprintln(errOut, "Try: tarragonwell --help")
		return ExitUsage
	}
	return status(k.Run(), errOut)
}

func status(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "tarragonwell:", err)
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	return ExitFailed
}
