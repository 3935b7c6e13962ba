package attributor

import (
	"fmt"
	"io"

	"shallotkeel.example/platform"
)

// Print reads the report of a day and the log of its routers, and writes a table of the
// earned credit and of the losses, as fractions of the credit owed.
func Print(to io.Writer, report, log io.Reader) error {
	windows, credit, err := platform.ReadReport(report)
	if err != nil {
		return err
	}
	lines, err := ReadLog(log)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(to, "%-40s %6.3f\n", "credit earned of what was owed", credit); err != nil {
		return err
	}
	for _, loss := range Attribute(windows, credit, lines) {
		if _, err := fmt.Fprintf(to, "%-40s %6.3f\n", loss.Cause, loss.Fraction); err != nil {
			return err
		}
	}
	return nil
}
