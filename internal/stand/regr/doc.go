// Package regr compares benchmark scores from the journal, so that a change which
// makes another deployment worse is noticed before it is merged. The journal is a
// folder with one JSON file per benchmark run. A score is a run in which the
// benchmark sends several days of load to one deployment, called a site.
package regr
