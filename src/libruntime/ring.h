#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace Trefoil {

// Bounded ring between duties: several producers, one consumer. A full ring refuses; nothing is
// dropped. The wake-up runs when the ring turns from empty to not empty.
template <class T>
class Ring
{
public:
    Ring(std::size_t capacity, std::function<void()> wake)
        : slots_(capacity)
        , wake_(std::move(wake))
    {}

    std::size_t capacity() const { return slots_.size(); }

    // Returns false when the ring is full.
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
        wake_();
        return true;
    }

    // Moves everything that the ring holds into `out`, oldest first.
    void drain(std::vector<T> &out)
    {
        const std::lock_guard lock(mutex_);
        while (count_ > 0) {
            out.push_back(std::move(*slots_[head_]));
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
    std::function<void()> wake_;
};

} // namespace Trefoil
