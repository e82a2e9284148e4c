// Command curranttiller is the load balancer's daemon and its operators' tool.
package main

import (
	"os"

	"gitlab.com/curranttiller/curranttiller/internal/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:]))
}
