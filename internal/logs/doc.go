// Package logs makes the JSON-line loggers of the subsystems, each with a level of its own.
package logs
