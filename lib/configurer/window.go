package configurer

// window is a queue that evicts its oldest items beyond a count and a total size.
type window[T any] struct {
	items []sized[T]
	bytes int
}

// sized is an item with its encoded size in bytes.
type sized[T any] struct {
	item T
	size int
}

func (w *window[T]) push(item T, size int) {
	w.items = append(w.items, sized[T]{item: item, size: size})
	w.bytes += size
}

// evict removes the oldest items beyond the bounds and calls forget for each. The
// newest item always remains.
func (w *window[T]) evict(count, bytes int, forget func(T)) {
	for len(w.items) > 1 && (len(w.items) > count || w.bytes > bytes) {
		oldest := w.items[0]
		w.items[0] = sized[T]{} // lets the item be collected before the array is
		w.items = w.items[1:]
		w.bytes -= oldest.size
		forget(oldest.item)
	}
}

// values lists the items, oldest first.
func (w *window[T]) values() []T {
	items := make([]T, 0, len(w.items))
	for _, entry := range w.items {
		items = append(items, entry.item)
	}
	return items
}
