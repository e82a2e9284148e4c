// Package limit decides how many requests an entry host may send to a target that
// names a limit in its answers.
//
// A target that needs relief names the number of requests a second that it takes from
// all entry hosts together. It does so in each answer for as long as the limit is in
// force. The package parses these statements.
package limit
