// Package demo runs the thin path of the product as separate processes and prints what came of it.
package demo
