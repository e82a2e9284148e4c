// Command standin runs stand-ins for the systems around curranttiller, and the load and experiment tools.
package main

import (
	"os"

	"gitlab.com/curranttiller/curranttiller/internal/stand/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:]))
}
