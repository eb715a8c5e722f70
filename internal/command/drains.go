package command

import (
	"fmt"

	pb "github.com/tarragonwell/tarragonwell/pkg/api/tarragonwell/v1"
)

// printDrain prints a data centre that is out of service, and the number of targets
// affected if the list of targets is known.
func printDrain(o *Output, d *pb.DrainStatus, listKnown bool) {
	fmt.Fprintf(o.Stdout, "data centre %s is drained: %s", d.GetDataCenter(), d.GetSource())
	if d.GetAskedBy() != "" {
		fmt.Fprintf(o.Stdout, ", asked for by: %s", d.GetAskedBy())
	}
	if listKnown {
		fmt.Fprintf(o.Stdout, ", %d targets affected", d.GetTargets())
	}
	fmt.Fprintln(o.Stdout)
}
