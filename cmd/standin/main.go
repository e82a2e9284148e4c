// Command standin simulates the systems around curranttiller, such as targets and callers,
// and runs load tests and experiments.
package main

import (
	"os"

	"gitlab.com/curranttiller/curranttiller/internal/stand/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:]))
}
