@instances.3 @plan.phases
Feature: No request is cut by a planned change

  Scenario: engines change their roles while long streams run
    Given 12 long streams run at i1
    When long prompts make role changes pay
    Then an engine is ordered to change its role
    And all long streams arrive whole
    And no engine cut a stream
    And no engine got conflicting orders

  Scenario: an engine crashes in the middle of a role change
    When long prompts make role changes pay
    And an engine crashes after it got an order
    Then that order is settled
    And no engine cut a stream
    And no engine got conflicting orders

  Scenario: the holder is killed in the middle of a role change
    When long prompts make role changes pay
    And the holder's control is killed once an engine got an order
    Then the next holder settles the same order
    And no order of an older term came after a newer one
    And no engine got conflicting orders
