Feature: Bad input gets a clear error and disturbs no other caller

  Scenario: malformed requests beside another caller's streams
    When other callers stream from all instances
    And these requests are sent to i1
      | request                        | status |
      | malformed JSON                 | 400    |
      | JSON that is no object         | 400    |
      | deeply nested JSON             | 400    |
      | bad UTF-8                      | 400    |
      | half a surrogate pair          | 400    |
      | a prompt that is a number      | 400    |
      | a chat without messages        | 400    |
      | negative max_tokens            | 400    |
      | max_tokens of 0                | 400    |
      | absurd max_tokens              | 400    |
      | max_tokens that is no integer  | 400    |
      | an unknown model               | 404    |
      | an unknown path                | 404    |
      | a path with dot segments       | 400    |
      | GET of completions             | 405    |
      | GET of an order                | 405    |
      | a body above the limit         | 413    |
      | an absurd announced length     | 413    |
      | an oversized header            | 413    |
      | a malformed idempotency key    | 400    |
      | no key                         | 401    |
      | an unknown key                 | 401    |
      | a key of another scheme        | 401    |
      | an operator without token      | 401    |
      | an operator with a caller key  | 401    |
    Then each of them got its status and was told "not_run"
    And no upstream ran anything for i1
    And the other callers' streams are whole

  Scenario: bytes that are no request
    When other callers stream from all instances
    And these bytes are sent to i1
      | bytes                     |
      | no HTTP                   |
      | a negative length         |
      | a malformed chunk         |
      | two different lengths     |
      | a header without a colon  |
    Then each of them got an error of the caller
    And no upstream ran anything for i1
    And the other callers' streams are whole

  Scenario: requests that never end
    When other callers stream from all instances
    And these bytes are sent to i1
      | bytes            |
      | half a head      |
      | half a body      |
    Then each of them was cut or told "not_run"
    And no upstream ran anything for i1
    And the other callers' streams are whole

  Scenario: messages to the peer port that no peer would send
    When other callers stream from all instances
    And these messages are sent to the peer port of i1
      | message              | secret |
      | broken CBOR          | none   |
      | an unknown message   | none   |
      | an oversized message | none   |
      | broken CBOR          | wrong  |
      | broken CBOR          | right  |
      | an unknown message   | right  |
    Then each connection is closed
    And i1 still hears its peers
    And the other callers' streams are whole

  Scenario: the whole history
    Then the history keeps the promises about requests
