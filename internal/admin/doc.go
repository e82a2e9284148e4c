// Package admin is the door for operators: status, documents, events and metrics over HTTP with JSON.
package admin
