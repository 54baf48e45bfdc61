//! Request bodies of the prompts.

use mangofront_load::scenario::Endpoint;
use mangofront_load::schedule::{History, ModelWork};
use mangofront_load::text::TextPool;
use mangofront_prompt::{BLOCK_TOKENS, Prompt, parse};

fn work(endpoint: Endpoint, length_tokens: u64, shared_tokens: u64) -> ModelWork {
    ModelWork {
        model: "assist-llm".to_owned(),
        endpoint,
        stream: true,
        max_tokens: 9,
        length_tokens,
        history: (shared_tokens > 0).then_some(History {
            seed: 3,
            length_tokens: shared_tokens,
        }),
    }
}

fn prompt(text_pool: &TextPool, work: &ModelWork, seed: u64) -> Prompt {
    let endpoint = match work.endpoint {
        Endpoint::Completions => mangofront_prompt::Endpoint::Completions,
        Endpoint::ChatCompletions => mangofront_prompt::Endpoint::ChatCompletions,
    };
    parse(endpoint, &text_pool.body(work, seed)).expect("the tool writes valid bodies")
}

#[test]
fn prompts_have_the_requested_length() {
    let text_pool = TextPool::new(0);
    for length_tokens in [1, 4, 200, 1_000, 250_000, 1_000_000] {
        let completion = work(Endpoint::Completions, length_tokens, length_tokens / 2);
        let parsed = prompt(&text_pool, &completion, 5);
        assert_eq!(parsed.length_tokens, length_tokens);
        assert_eq!((parsed.max_tokens, parsed.stream), (9, true));
        let chat = work(Endpoint::ChatCompletions, length_tokens, 0);
        // Role and separators are part of the text.
        assert!(prompt(&text_pool, &chat, 5).length_tokens - length_tokens <= 4);
    }
}

#[test]
fn only_histories_are_shared() {
    let text_pool = TextPool::new(0);
    let work = work(Endpoint::Completions, 4_000, 3_000);
    let (one, other) = (prompt(&text_pool, &work, 1), prompt(&text_pool, &work, 2));
    let shared = 3_000 / BLOCK_TOKENS;
    assert_eq!(one.blocks[..shared], other.blocks[..shared]);
    assert_ne!(one.blocks[shared + 1], other.blocks[shared + 1]);
    assert_ne!(one.digest, other.digest);
    assert_eq!(one, prompt(&TextPool::new(0), &work, 1));
    let salted = prompt(&TextPool::new(9), &work, 1);
    assert_ne!(one.blocks[0], salted.blocks[0]);
}
