package choose

import (
	"container/list"
)

// queue holds the requests that wait for a slot, first come first served.
type queue struct {
	order    *list.List
	elements map[uint64]*list.Element
}

func newQueue() *queue {
	return &queue{order: list.New(), elements: make(map[uint64]*list.Element)}
}

func (q *queue) pushBack(r *pending) {
	q.elements[r.ID] = q.order.PushBack(r)
}

// pushFront is for retries, which have waited already.
func (q *queue) pushFront(r *pending) {
	q.elements[r.ID] = q.order.PushFront(r)
}

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
