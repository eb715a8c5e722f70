package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/internal/operator"
	"github.com/tarragonwell/tarragonwell/pkg/rulesfile"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/drains"
)

var errInvalidFile = eris.New("invalid file")

// checkCommand validates rules and settings files.
type checkCommand struct {
	Rules    []string `help:"Rules files to check." type:"path" placeholder:"FILE"`
	Settings []string `help:"Settings files to check." type:"path" placeholder:"FILE"`
}

// Run implements the command.
func (c *checkCommand) Run(o *Output) error {
	if len(c.Rules)+len(c.Settings) == 0 {
		return eris.Wrap(errUsage, "pass files with --rules or --settings")
	}
	invalid := false
	for _, file := range c.Rules {
		set, err := readRules(file)
		if errors.Is(err, errUsage) {
			return err
		}
		if err != nil {
			invalid = true
			fmt.Fprintln(o.Stdout, err)
			continue
		}
		fmt.Fprintf(o.Stdout, "%s: accepted, %d rules, digest %x\n", file, len(set.Lines), set.Version.Digest)
		for _, d := range operator.DrainsToProto(drains.Combine(nil, set.DataCenters), nil) {
			printDrain(o, d, false)
		}
	}
	for _, file := range c.Settings {
		if _, err := settingsfile.Load(file); err != nil {
			invalid = true
			fmt.Fprintln(o.Stdout, err)
			continue
		}
		fmt.Fprintf(o.Stdout, "%s: accepted\n", file)
	}
	if invalid {
		return errInvalidFile
	}
	return nil
}

func readRules(file string) (*tarragonwell.RuleSet, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Join(errUsage, err)
	}
	return rulesfile.Parse(file, 0, content)
}
