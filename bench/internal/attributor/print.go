package attributor

import (
	"fmt"
	"io"

	"shallotkeel.example/platform"
)

// Print reads a day's report and its routers' logs, and writes the table of its losses.
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
		if _, err := fmt.Fprintf(to, "%-40s %6.3f\n", loss.Cause, loss.Part); err != nil {
			return err
		}
	}
	return nil
}
