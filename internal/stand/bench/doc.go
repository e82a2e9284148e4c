// Package bench measures the policies side by side under the conditions of docs/POLICY.md.
package bench
