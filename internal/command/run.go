// Package command implements the command line.
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
	// ExitFailed means that the command failed or that a checked file is invalid. For
	// check, a settings file that can't be read is invalid, too.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid or a file can't be read, or
	// that serve can't use its settings file.
	ExitUsage = 2
)

// errUsage marks errors that result in ExitUsage: errors of the command line and of
// files named on it.
var errUsage = eris.New("usage")

// commands defines the command line for kong.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run one instance until SIGTERM or SIGINT, then shut it down gracefully."`
	Check   checkCommand   `cmd:"" help:"Validate rules and settings files. Prints each error as file:line: field: message."`
	Explain explainCommand `cmd:"" help:"Show the rules that apply to a request, their lines in the rules file and who asked for them."`
	Status  statusCommand  `cmd:"" help:"Show the targets, peers, rules and load of an instance."`
	Audit   auditCommand   `cmd:"" help:"Show the audit trail of an instance."`
	Trace   traceCommand   `cmd:"" help:"Show the log lines of a call and the state changes that preceded it."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// Output holds the streams that commands write to.
type Output struct {
	Stdout io.Writer
	Stderr io.Writer
}

const description = `A load balancer for servers whose load changes within milliseconds.

Operators configure it by editing one rules file, which the platform publishes; no command changes the configuration of the fleet.

Exit statuses: 0 success; 1 failure, or a checked file is invalid; 2 the command line is invalid or a file can't be read.`

// Run runs one command and returns its exit status.
func Run(args []string, out, errOut io.Writer) int {
	var c commands
	kongExit := -1
	parser, err := kong.New(&c,
		kong.Name("tarragonwell"),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { kongExit = code }),
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
	if kongExit >= 0 {
		// Kong has printed the help.
		return kongExit
	}
	if err != nil {
		fmt.Fprintln(errOut, "tarragonwell:", err)
		fmt.Fprintln(errOut, "Try: tarragonwell --help")
		return ExitUsage
	}
	return exitStatus(k.Run(), errOut)
}

// exitStatus prints an error and returns the exit status for it.
func exitStatus(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "tarragonwell:", err)
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	return ExitFailed
}
