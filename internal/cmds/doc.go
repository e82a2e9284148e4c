// Package cmds holds the commands of the curranttiller program.
package cmds
