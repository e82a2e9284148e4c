// Package fault classifies failed requests by whether their work may have run.
package fault
