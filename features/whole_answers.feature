Feature: Each caller gets the whole answer to its own request

  Scenario: answers of plain services that name another request
    Given the answers of the next 1 calls to the plain services are crossed
    When 6 reads are sent to all instances at once
    Then every caller holds its own whole answer or a clear error
    And at least 1 calls were answered

  Scenario: crossed answers to payments
    Given the answers of the next 2 calls to the plain services are crossed
    When 9 payments named "crossed" are sent to all instances at once
    Then every caller holds its own whole answer or a clear error
    And at least 3 calls were answered
    And 2 to 6 calls were told "unknown"

  Scenario: answers of plain services that are cut short
    Given the answers of the next 2 calls to the plain services are cut short
    When 9 payments named "short" are sent to all instances at once
    Then every caller holds its own whole answer or a clear error
    And 2 to 6 calls were told "unknown"

  Scenario: an answer that comes after its deadline reaches no later caller
    Given the plain services answer after 5 s
    When 6 payments named "overdue" are sent to all instances at once
    Then 6 to 6 calls were told "unknown"
    Given the plain services answer after 0 s
    When 30 payments named "later" are sent to all instances at once
    Then every caller holds its own whole answer or a clear error
    And at least 30 calls were answered

  Scenario: streams whose parts name another request
    Given the next 1 streams of each engine name another request
    When 6 chats of 20 tokens are sent to all instances at once
    Then every caller holds its own whole answer or a clear error

  Scenario: an engine crashes in the middle of streams
    Given every engine serves
    When 9 chats of 150 tokens are begun at all instances
    And 1 engine that runs some of them crashes
    Then every caller holds its own whole answer or a clear error
    And at least 9 calls were answered

  Scenario: several engines crash in the middle of streams
    Given every engine serves
    When 9 chats of 150 tokens are begun at all instances
    And 3 engines that run some of them crash
    Then every caller holds its own whole answer or a clear error

  Scenario: every engine crashes in the middle of streams
    Given every engine serves
    When 6 chats of 150 tokens are begun at all instances
    And every engine crashes
    Then every caller holds its own whole answer or a clear error

  Scenario: an instance is killed in the middle of streams
    Given every engine serves
    When 6 chats of 150 tokens are begun at all instances
    And the entry of i1 is killed
    Then callers of i1 see a break and the others a whole answer

  Scenario: a prompt crashes the engines that run it and is sent again
    Given every engine serves
    When 9 chats of 150 tokens are begun at all instances
    And a prompt that crashes engines is sent 6 times, one after the other
    Then every caller holds its own whole answer or a clear error
    And at least 9 calls were answered
    And the prompt crashed at most 2 engines

  Scenario: a prompt that crashes engines is sent to all instances at once
    Given every engine serves
    When 9 chats of 150 tokens are begun at all instances
    And a prompt that crashes engines is sent to all instances at once
    Then every caller holds its own whole answer or a clear error
    And at least 9 calls were answered
    And the prompt crashed at most 4 engines

  Scenario: the whole history
    Then the history keeps the promises about requests
