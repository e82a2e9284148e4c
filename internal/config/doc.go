// Package config reads and checks the INI settings of an entry host.
package config
