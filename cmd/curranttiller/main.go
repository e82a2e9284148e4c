// Command curranttiller runs the daemon of the load balancer, or one of the commands for
// its operators.
package main

import (
	"os"

	"gitlab.com/curranttiller/curranttiller/internal/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:]))
}
