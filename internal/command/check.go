package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/tarragonwell/tarragonwell/pkg/rulesfile"
	"github.com/tarragonwell/tarragonwell/pkg/settingsfile"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

var errRefused = eris.New("a file is refused")

// checkCommand checks files.
type checkCommand struct {
	Rules    []string `help:"Rules files to check." type:"path" placeholder:"FILE"`
	Settings []string `help:"Settings files to check." type:"path" placeholder:"FILE"`
}

// Run implements the command.
func (c *checkCommand) Run(o *Output) error {
	if len(c.Rules)+len(c.Settings) == 0 {
		return eris.Wrap(errUsage, "name files with --rules or --settings")
	}
	refused := false
	for _, f := range c.Rules {
		set, err := readRules(f)
		if errors.Is(err, errUsage) {
			return err
		}
		if err != nil {
			refused = true
			fmt.Fprintln(o.Stdout, err)
			continue
		}
		fmt.Fprintf(o.Stdout, "%s: accepted, %d rules, digest %x\n", f, len(set.Lines), set.Version.Digest)
	}
	for _, f := range c.Settings {
		if _, err := settingsfile.Load(f); err != nil {
			refused = true
			fmt.Fprintln(o.Stdout, err)
			continue
		}
		fmt.Fprintf(o.Stdout, "%s: accepted\n", f)
	}
	if refused {
		return errRefused
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
