package configurer

// window is a queue that forgets its oldest items beyond a count and a size.
type window[T any] struct {
	items []sized[T]
	bytes int
}

type sized[T any] struct {
	item T
	size int
}

func (w *window[T]) push(item T, size int) {
	w.items = append(w.items, sized[T]{item: item, size: size})
	w.bytes += size
}

// shrink forgets the oldest items but always keeps the newest.
func (w *window[T]) shrink(count, bytes int, forget func(T)) {
	for len(w.items) > 1 && (len(w.items) > count || w.bytes > bytes) {
		oldest := w.items[0]
		w.items[0] = sized[T]{} // lets its memory go before the array does
		w.items = w.items[1:]
		w.bytes -= oldest.size
		forget(oldest.item)
	}
}

func (w *window[T]) all() []T {
	items := make([]T, 0, len(w.items))
	for _, at := range w.items {
		items = append(items, at.item)
	}
	return items
}
