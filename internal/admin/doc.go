// Package admin serves operators: status, documents, events and metrics over HTTP with JSON.
package admin
