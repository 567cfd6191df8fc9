#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace Trefoil {

// Bounded queue between threads, for several producers and one consumer. A full queue refuses new
// values and keeps those that it holds. The notification runs on the producer's thread when the
// queue changes from empty to not empty.
template <class T>
class BoundedQueue
{
public:
    BoundedQueue(std::size_t capacity, std::function<void()> notifyNotEmpty)
        : slots_(capacity)
        , notifyNotEmpty_(std::move(notifyNotEmpty))
    {}

    std::size_t capacity() const { return slots_.size(); }

    // Returns false when the queue is full.
    bool tryPush(T value)
    {
        {
            const std::lock_guard lock(mutex_);
            if (count_ == slots_.size())
                return false;
            slots_[(head_ + count_) % slots_.size()] = std::move(value);
            ++count_;
            if (count_ > 1)
                return true;
        }
        notifyNotEmpty_();
        return true;
    }

    // Appends all queued values to `values`, oldest first, and empties the queue.
    void drain(std::vector<T> &values)
    {
        const std::lock_guard lock(mutex_);
        while (count_ > 0) {
            values.push_back(std::move(*slots_[head_]));
            slots_[head_].reset();
            head_ = (head_ + 1) % slots_.size();
            --count_;
        }
    }

    std::size_t size() const
    {
        const std::lock_guard lock(mutex_);
        return count_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<std::optional<T>> slots_;
    std::size_t head_ = 0;
    std::size_t count_ = 0;
    std::function<void()> notifyNotEmpty_;
};

} // namespace Trefoil
