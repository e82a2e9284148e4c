// Package regr compares benchmark scores from the journal, so that a change which
// makes another deployment worse is noticed before it lands. The journal is a
// folder with one JSON file per benchmark run. A score is a run in which the
// benchmark plays several days of load against one deployment, called a site.
package regr
