/** Token bucket: see token_bucket.h. */
#include "token_bucket.h"

static const double US_PER_S = 1e6;

struct token_bucket token_bucket_make(double refill_per_s, double capacity, double tokens,
                                      mono_time now)
{
    return (struct token_bucket){refill_per_s, capacity, tokens, now};
}

struct token_bucket token_bucket_make_full(double refill_per_s, mono_time now)
{
    return token_bucket_make(refill_per_s, refill_per_s, refill_per_s, now);
}

void token_bucket_refill(struct token_bucket *bucket, mono_time now)
{
    double accrued = bucket->refill_per_s * (double)(now.us - bucket->refilled_at.us) / US_PER_S;
    bucket->tokens = MIN(bucket->capacity, bucket->tokens + accrued);
    bucket->refilled_at = now;
}

void token_bucket_set_rate(struct token_bucket *bucket, double refill_per_s)
{
    bucket->refill_per_s = refill_per_s;
    bucket->capacity = refill_per_s;
    bucket->tokens = MIN(bucket->tokens, bucket->capacity);
}

void token_bucket_take(struct token_bucket *bucket, double count)
{
    bucket->tokens -= count;
}

void token_bucket_borrow(struct token_bucket *bucket, double count)
{
    double lowest = MIN(bucket->tokens, -bucket->capacity);
    bucket->tokens = MAX(bucket->tokens - count, lowest);
}

void token_bucket_drain(struct token_bucket *bucket)
{
    bucket->tokens = MIN(bucket->tokens, 0);
}

bool token_bucket_has_token(const struct token_bucket *bucket)
{
    return bucket->tokens >= 1;
}

int64_t token_bucket_wait_ms(const struct token_bucket *bucket)
{
    return (int64_t)((1 - bucket->tokens) / bucket->refill_per_s * 1000) + 1;
}
