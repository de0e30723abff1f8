#pragma once

#include <sys/mman.h>

#include <cstddef>
#include <cstdlib>
#include <new>

namespace boragelug
{

/**
 * Allocator that requests huge pages.
 *
 * With normal pages, nearly every random access to a table of tens of MB misses the TLB. Thread-safe.
 */
template<class T>
struct HugePageAllocator
{
    using value_type = T; // NOLINT(readability-identifier-naming): name fixed by the allocator requirements.
    static constexpr std::size_t pageBytes = std::size_t { 2 } << 20U;

    HugePageAllocator() = default;
    template<class U>
    HugePageAllocator(const HugePageAllocator<U> & /*other*/) // NOLINT(google-explicit-constructor)
    { }

    T *allocate(std::size_t count)
    {
        const std::size_t bytes = count * sizeof(T);
        if (bytes < pageBytes) {
            return static_cast<T *>(::operator new (bytes, std::align_val_t { alignof(T) }));
        }
        const std::size_t rounded = (bytes + pageBytes - 1) / pageBytes * pageBytes;
        void *memory = std::aligned_alloc(pageBytes, rounded);
        if (memory == nullptr) {
            throw std::bad_alloc();
        }
        // Only a hint, whose failure is ignored: without huge pages a table lookup takes twice the time.
        static_cast<void>(madvise(memory, rounded, MADV_HUGEPAGE));
        return static_cast<T *>(memory);
    }

    void deallocate(T *memory, std::size_t count)
    {
        if (count * sizeof(T) < pageBytes) {
            ::operator delete (memory, std::align_val_t { alignof(T) });
        } else {
            std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
        }
    }

    bool operator==(const HugePageAllocator &) const = default;
};

} // namespace boragelug
