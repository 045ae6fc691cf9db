package admission

// deadlineHeap is a binary min-heap of node indices by deadline. It does not use
// container/heap, which allocates for each pushed int32.
type deadlineHeap []int32

func (h *deadlineHeap) push(nodes []node, n int32) {
	*h = append(*h, n)
	nodes[n].heapIndex = int32(len(*h) - 1)
	h.up(nodes, nodes[n].heapIndex)
}

func (h *deadlineHeap) remove(nodes []node, n int32) {
	i := nodes[n].heapIndex
	last := int32(len(*h) - 1)
	h.swap(nodes, i, last)
	*h = (*h)[:last]
	if i == last {
		return
	}
	h.up(nodes, i)
	h.down(nodes, i)
}

func (h deadlineHeap) up(nodes []node, i int32) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(nodes, i, parent) {
			return
		}
		h.swap(nodes, i, parent)
		i = parent
	}
}

func (h deadlineHeap) down(nodes []node, i int32) {
	for {
		child := 2*i + 1
		if child >= int32(len(h)) {
			return
		}
		if child+1 < int32(len(h)) && h.less(nodes, child+1, child) {
			child++
		}
		if !h.less(nodes, child, i) {
			return
		}
		h.swap(nodes, i, child)
		i = child
	}
}

func (h deadlineHeap) less(nodes []node, i, j int32) bool {
	return nodes[h[i]].item.Deadline < nodes[h[j]].item.Deadline
}

func (h deadlineHeap) swap(nodes []node, i, j int32) {
	h[i], h[j] = h[j], h[i]
	nodes[h[i]].heapIndex = i
	nodes[h[j]].heapIndex = j
}
