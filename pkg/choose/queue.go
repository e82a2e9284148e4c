package choose

import (
	"cmp"
	"container/list"
	"slices"
)

// queue holds the requests that wait for a slot, ordered by precedence. Within one, those
// that need another attempt come before new ones, which are in the order of arrival.
type queue struct {
	order    *list.List
	elements map[uint64]*list.Element
}

func newQueue() *queue {
	return &queue{order: list.New(), elements: make(map[uint64]*list.Element)}
}

// pushBack inserts a request after those of the same precedence.
func (q *queue) pushBack(r *pending) {
	for e := q.order.Back(); e != nil; e = e.Prev() {
		if e.Value.(*pending).precedence.compare(r.precedence) <= 0 {
			q.elements[r.ID] = q.order.InsertAfter(r, e)
			return
		}
	}
	q.elements[r.ID] = q.order.PushFront(r)
}

// pushFront inserts a request before those of the same precedence. It is used for
// retries, hedges and rescues, which have waited already.
func (q *queue) pushFront(r *pending) {
	for e := q.order.Front(); e != nil; e = e.Next() {
		if e.Value.(*pending).precedence.compare(r.precedence) >= 0 {
			q.elements[r.ID] = q.order.InsertBefore(r, e)
			return
		}
	}
	q.elements[r.ID] = q.order.PushBack(r)
}

// all yields the waiting requests in order. The loop body may remove the current one.
func (q *queue) all(yield func(*pending) bool) {
	for e := q.order.Front(); e != nil; {
		next := e.Next()
		if !yield(e.Value.(*pending)) {
			return
		}
		e = next
	}
}

// newestFirst yields the waiting requests by precedence, and the last to arrive first
// within one. The loop body may remove the current one.
func (q *queue) newestFirst(yield func(*pending) bool) {
	order := make([]*pending, 0, q.len())
	for r := range q.all {
		order = append(order, r)
	}
	slices.SortStableFunc(order, func(a, b *pending) int {
		return cmp.Or(a.precedence.compare(b.precedence), b.arrived.Compare(a.arrived))
	})
	for _, r := range order {
		if !yield(r) {
			return
		}
	}
}

// first returns the request at the head of the queue, or nil.
func (q *queue) first() *pending {
	front := q.order.Front()
	if front == nil {
		return nil
	}
	return front.Value.(*pending)
}

func (q *queue) has(id uint64) bool {
	_, found := q.elements[id]
	return found
}

// remove reports whether the request was in the queue.
func (q *queue) remove(id uint64) bool {
	element, found := q.elements[id]
	if found {
		q.order.Remove(element)
		delete(q.elements, id)
	}
	return found
}

func (q *queue) len() int {
	return q.order.Len()
}
