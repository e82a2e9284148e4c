// Package spec parses and checks the INI document that states how the traffic of one service is treated.
package spec
