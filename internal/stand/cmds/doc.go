// Package cmds holds the commands of the standin program.
package cmds
