//! Reading of request bodies: lengths, blocks and what is refused.

use mangofront_prompt::{BLOCK_BYTES, Endpoint, LengthBucket, Prompt, PromptError, parse};
use quickcheck::QuickCheck;
use serde_json::{Value, json};

const ENDPOINTS: [Endpoint; 2] = [Endpoint::Completions, Endpoint::ChatCompletions];

fn read_value(endpoint: Endpoint, body: &Value) -> Result<Prompt, PromptError> {
    parse(endpoint, body.to_string().as_bytes())
}

fn completion(text: &str) -> Result<Prompt, PromptError> {
    let body = json!({"model": "m", "prompt": text});
    read_value(Endpoint::Completions, &body)
}

fn chat(messages: &[(String, String)]) -> Result<Prompt, PromptError> {
    let messages: Vec<Value> = messages
        .iter()
        .map(|(role, content)| json!({"role": role, "content": content}))
        .collect();
    let body = json!({"model": "m", "messages": messages});
    read_value(Endpoint::ChatCompletions, &body)
}

#[test]
fn golden_lengths_and_blocks() {
    let texts = [
        "a".to_owned(),
        "abcd".to_owned(),
        "abcde".to_owned(),
        "мангал, 山羊, 🥭".to_owned(),
        "x".repeat(BLOCK_BYTES - 1),
        "x".repeat(BLOCK_BYTES),
        "x".repeat(2 * BLOCK_BYTES + 1),
    ];
    let lines: Vec<String> = texts
        .iter()
        .map(|text| {
            let prompt = completion(text).unwrap();
            let Prompt {
                length_tokens,
                blocks,
                digest,
                ..
            } = prompt;
            let bytes = text.len();
            format!("{bytes} bytes: {length_tokens} tokens, blocks {blocks:x?}, digest {digest:x}")
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn fields_and_their_defaults() {
    let prompt = completion("text").unwrap();
    let read = (prompt.model.as_str(), prompt.stream, prompt.max_tokens);
    assert_eq!(read, ("m", false, 256));
    let body = json!({
        "model": "m", "prompt": "text", "stream": true, "user": {"unknown": 1},
        "max_tokens": 7, "max_completion_tokens": 9,
    });
    let prompt = read_value(Endpoint::Completions, &body).unwrap();
    assert_eq!((prompt.stream, prompt.max_tokens), (true, 9));
}

#[test]
fn pieces_give_the_blocks_of_the_whole() {
    fn holds(pieces: Vec<(String, String)>, repeats: u8) -> bool {
        // Repeated, so that pieces fall across the ends of blocks.
        let repeats = usize::from(repeats % 64) * 8;
        let pieces: Vec<_> = pieces
            .iter()
            .map(|(role, content)| (role.clone(), content.repeat(repeats)))
            .collect();
        let whole: String = pieces
            .iter()
            .map(|(role, content)| format!("{role}\n{content}\n"))
            .collect();
        let (Ok(apart), Ok(joined)) = (chat(&pieces), completion(&whole)) else {
            return whole.is_empty();
        };
        apart == joined && apart.blocks.len() == whole.len() / BLOCK_BYTES
    }
    QuickCheck::new()
        .tests(80)
        .quickcheck(holds as fn(Vec<(String, String)>, u8) -> bool);
}

#[test]
fn a_shared_beginning_gives_shared_blocks_only() {
    let shared = "s".repeat(2 * BLOCK_BYTES);
    let one = completion(&format!("{shared}{}", "a".repeat(BLOCK_BYTES))).unwrap();
    let other = completion(&format!("{shared}{}", "b".repeat(BLOCK_BYTES))).unwrap();
    assert_eq!(one.blocks[..2], other.blocks[..2]);
    assert_ne!(one.blocks[2], other.blocks[2]);
    // Chained: the same block after another beginning is another one.
    let later = completion(&format!("{}{shared}", "a".repeat(BLOCK_BYTES))).unwrap();
    assert_ne!(one.blocks[1], later.blocks[2]);
}

#[test]
fn malformed_bodies_are_refused() {
    let bodies = [
        json!(null),
        json!([]),
        json!({}),
        json!({"model": "m"}),
        json!({"prompt": "text"}),
        json!({"model": 1, "prompt": "text"}),
        json!({"model": "m", "prompt": ["text"]}),
        json!({"model": "m", "prompt": "text", "max_tokens": -1}),
        json!({"model": "m", "prompt": "text", "max_tokens": 4_294_967_296_u64}),
        json!({"model": "m", "prompt": "text", "max_tokens": 0}),
        json!({"model": "m", "prompt": ""}),
        json!({"model": "m", "messages": []}),
        json!({"model": "m", "messages": [{"role": "user"}]}),
        json!({"model": "m", "messages": [{"role": "user", "content": 1}]}),
    ];
    let lines: Vec<String> = bodies
        .iter()
        .map(|body| {
            let said = ENDPOINTS.map(|endpoint| match read_value(endpoint, body) {
                Ok(prompt) => panic!("{body} was read as {prompt:?}"),
                Err(error) => error.to_string(),
            });
            format!("{body}\n  completions: {}\n  chat: {}", said[0], said[1])
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn broken_bytes_are_refused_without_a_panic() {
    fn holds(noise: Vec<u8>, at: usize) -> bool {
        let good = json!({"model": "m", "prompt": "a\u{e9}\"b", "messages": [
            {"role": "user", "content": "a\u{e9}"}
        ]});
        let good = good.to_string().into_bytes();
        let at = at % good.len();
        // Any result will do but a panic.
        let mut spliced = good.clone();
        spliced.splice(at..at, noise.iter().copied());
        ENDPOINTS.iter().all(|endpoint| {
            let _ = parse(*endpoint, &noise);
            let _ = parse(*endpoint, &spliced);
            parse(*endpoint, &good[..at]).is_err()
        })
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(Vec<u8>, usize) -> bool);
}

#[test]
fn bucket_names_are_those_of_the_json_form() {
    for bucket in LengthBucket::ALL {
        assert_eq!(serde_json::to_value(bucket).unwrap(), json!(bucket.name()));
    }
    assert!(LengthBucket::ALL.is_sorted());
}
