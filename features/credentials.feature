Feature: No upstream, log or metric sees a key, another credential or a prompt

  Scenario: calls that are served
    When served calls of every kind carry planted credentials and prompts
    Then no upstream received a credential
    And no header to an upstream holds a prompt
    And no log or metric holds a credential or a prompt

  Scenario: calls that fail
    Given the plain services lose the answers of the next 1 calls
    When failing calls of every kind carry planted credentials and prompts
    Then no upstream received a credential
    And no header to an upstream holds a prompt
    And no log or metric holds a credential or a prompt

  Scenario: requests run for the customer whose key came with them
    When 8 payments of two customers each claim to be of the other one
    Then each payment ran for the customer of its key

  Scenario: requests without a valid key run for nobody
    When payments come without a key, with an unknown one and with one in the query
    Then none of the payments ran

  Scenario: the whole history
    Then the history keeps the promises about requests
