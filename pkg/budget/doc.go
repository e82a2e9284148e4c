// Package budget holds limits that many hosts share without talking: every
// host spends at most a fixed share, and a new or woken host starts with nothing saved up.
package budget
