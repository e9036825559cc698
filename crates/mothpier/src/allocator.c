/* Settings of the C library's allocator: blocks that are freed go back to the system at once.
 *
 * By default glibc keeps freed blocks, and with the first large block that is freed it raises the size from which blocks are
 * mapped one by one. What a process held for small replies would then stay resident beside what it holds for large
 * values, and beside the memory of a second process of the node. */

/* From malloc.h, so that no headers are needed to build this. */
extern int mallopt(int parameter, int value);
enum { M_TRIM_THRESHOLD = -1, M_MMAP_THRESHOLD = -3 };

/* Blocks from this size on are mapped one by one, and unmapped when they are freed. */
enum { MAPPED_BLOCK_BYTES = 32 * 1024 };
/* Free memory at the end of the heap that is kept. */
enum { KEPT_HEAP_BYTES = 128 * 1024 };

__attribute__((constructor)) static void return_freed_memory(void) {
    mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
    mallopt(M_TRIM_THRESHOLD, KEPT_HEAP_BYTES);
}
